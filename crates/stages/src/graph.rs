//! The stages of one request: what may start, what it starts from, and what
//! the request itself starts from.
//!
//! A stage has some pieces, possibly none. It may start when every piece of
//! every stage that it needs is made; the final ones, which only the request
//! needs, start together. Results are known by their handles. A
//! result may be lost with its maker; [`StageGraph::lose_inputs`] makes its piece
//! startable again. A result is spent once all that needs it is made.

/// One piece of one stage.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PieceAt {
    /// Position of the stage in its route.
    pub stage: usize,
    /// Position of the piece in its stage.
    pub piece: usize,
}

/// Size and needs of one stage.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StageSize {
    /// 0 leaves the stage out.
    pub pieces: usize,
    /// Earlier stages whose results it needs.
    pub after: Vec<usize>,
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum PieceState {
    /// Not begun.
    Open,
    /// Handed out by [`StageGraph::start_ready`].
    Started,
    /// Its result lies under this handle, which is empty once it was spent.
    Made(String),
}

/// Progress of one request through its stages.
#[derive(Debug, Clone)]
pub struct StageGraph {
    sizes: Vec<StageSize>,
    states: Vec<Vec<PieceState>>,
    joint_finals: bool,
}

impl StageGraph {
    /// Nothing begun. Every stage may need earlier ones only.
    pub fn new(sizes: Vec<StageSize>) -> Self {
        let states = sizes
            .iter()
            .map(|size| vec![PieceState::Open; size.pieces])
            .collect();
        StageGraph {
            sizes,
            states,
            joint_finals: true,
        }
    }

    /// The same where final stages don't wait for each other, to measure what their
    /// waiting gains.
    pub fn with_separate_finals(self) -> Self {
        StageGraph {
            joint_finals: false,
            ..self
        }
    }

    /// Pieces that may start now and weren't handed out yet; they are from now
    /// on.
    pub fn start_ready(&mut self) -> Vec<PieceAt> {
        let ready: Vec<PieceAt> = (0..self.sizes.len())
            .filter(|&stage| self.may_start(stage))
            .flat_map(|stage| self.open_pieces(stage))
            .collect();
        for at in &ready {
            self.states[at.stage][at.piece] = PieceState::Started;
        }
        ready
    }

    /// A final stage waits for the other final ones: made sooner, its results would
    /// only fill their makers' memory while a longer way is gone.
    fn may_start(&self, stage: usize) -> bool {
        match self.is_needed(stage) || !self.joint_finals {
            true => self.has_inputs(stage),
            false => self.final_stages().all(|stage| self.has_inputs(stage)),
        }
    }

    /// True when every piece of every stage that a stage needs is made.
    fn has_inputs(&self, stage: usize) -> bool {
        let needed = &self.sizes[stage].after;
        needed.iter().all(|&needed| self.is_made(needed))
    }

    /// Stages with pieces whose results only the request itself needs.
    fn final_stages(&self) -> impl Iterator<Item = usize> + '_ {
        (0..self.sizes.len())
            .filter(|&stage| self.sizes[stage].pieces > 0 && !self.is_needed(stage))
    }

    /// True when every piece of a stage is made.
    pub fn is_made(&self, stage: usize) -> bool {
        self.states[stage]
            .iter()
            .all(|state| matches!(state, PieceState::Made(_)))
    }

    fn open_pieces(&self, stage: usize) -> impl Iterator<Item = PieceAt> + '_ {
        self.states[stage]
            .iter()
            .enumerate()
            .filter(|(_, state)| **state == PieceState::Open)
            .map(move |(piece, _)| PieceAt { stage, piece })
    }

    /// A piece was made.
    pub fn made(&mut self, at: PieceAt, handle: String) {
        self.states[at.stage][at.piece] = PieceState::Made(handle);
    }

    /// A piece has to be made again, because its work failed or its result is
    /// lost.
    pub fn lose(&mut self, at: PieceAt) {
        self.states[at.stage][at.piece] = PieceState::Open;
    }

    /// Results that a piece of `stage` was to start from are lost: their pieces
    /// have to be made again, and whatever those need that was spent since.
    /// Returns the pieces, whose results are of no use any more.
    pub fn lose_inputs(&mut self, stage: usize, handles: &[String]) -> Vec<PieceAt> {
        let mut lost = Vec::new();
        for needed in self.sizes[stage].after.clone() {
            let is_lost = |handle: &String| handles.contains(handle);
            let pieces = self.reopen(needed, is_lost);
            if !pieces.is_empty() {
                lost.extend(self.reopen_spent_before(needed));
            }
            lost.extend(pieces);
        }
        lost
    }

    /// Spent results before a stage whose pieces are made again.
    fn reopen_spent_before(&mut self, stage: usize) -> Vec<PieceAt> {
        let mut lost = Vec::new();
        for needed in self.sizes[stage].after.clone() {
            let pieces = self.reopen(needed, String::is_empty);
            if !pieces.is_empty() {
                lost.extend(self.reopen_spent_before(needed));
            }
            lost.extend(pieces);
        }
        lost
    }

    /// Made pieces of a stage whose handles fit become startable again.
    fn reopen(&mut self, stage: usize, fits: impl Fn(&String) -> bool) -> Vec<PieceAt> {
        let mut opened = Vec::new();
        for (piece, state) in self.states[stage].iter_mut().enumerate() {
            if matches!(state, PieceState::Made(handle) if fits(handle)) {
                *state = PieceState::Open;
                opened.push(PieceAt { stage, piece });
            }
        }
        opened
    }

    /// Handles of all results that a stage starts from.
    pub fn inputs_of(&self, stage: usize) -> Vec<String> {
        let needed = self.sizes[stage].after.iter();
        needed.flat_map(|&stage| self.handles(stage)).collect()
    }

    /// Handles of all results that the request itself starts from: those of
    /// the stages that no other stage needs.
    pub fn final_inputs(&self) -> Vec<String> {
        (0..self.sizes.len())
            .filter(|&stage| !self.is_needed(stage))
            .flat_map(|stage| self.handles(stage))
            .collect()
    }

    /// Handles of results that nothing needs any more: those of a stage whose
    /// dependents are all made. They are forgotten, so that each is told once.
    pub fn take_spent(&mut self) -> Vec<String> {
        let spent: Vec<usize> = (0..self.sizes.len())
            .filter(|&stage| self.is_needed(stage) && self.dependents_made(stage))
            .collect();
        let mut handles = Vec::new();
        for stage in spent {
            for state in &mut self.states[stage] {
                if let PieceState::Made(handle) = state {
                    if !handle.is_empty() {
                        handles.push(std::mem::take(handle));
                    }
                }
            }
        }
        handles
    }

    fn is_needed(&self, stage: usize) -> bool {
        self.dependents(stage).next().is_some()
    }

    fn dependents_made(&self, stage: usize) -> bool {
        self.dependents(stage)
            .all(|dependent| self.is_made(dependent))
    }

    /// Stages with pieces that need this one.
    fn dependents(&self, stage: usize) -> impl Iterator<Item = usize> + '_ {
        let needs = move |size: &StageSize| size.pieces > 0 && size.after.contains(&stage);
        self.sizes
            .iter()
            .enumerate()
            .filter(move |(_, size)| needs(size))
            .map(|(dependent, _)| dependent)
    }

    fn handles(&self, stage: usize) -> impl Iterator<Item = String> + '_ {
        self.states[stage].iter().filter_map(|state| match state {
            PieceState::Made(handle) if !handle.is_empty() => Some(handle.clone()),
            _ => None,
        })
    }

    /// True when every piece of every stage is made.
    pub fn is_done(&self) -> bool {
        (0..self.sizes.len()).all(|stage| self.is_made(stage))
    }

    /// Time of the stages on the longest way from the end of a stage to the
    /// request, when each takes `ms_of` its position, in milliseconds.
    pub fn ms_after(&self, stage: usize, ms_of: &impl Fn(usize) -> u64) -> u64 {
        let ways = self.dependents(stage);
        let longest = ways.map(|next| ms_of(next) + self.ms_after(next, ms_of));
        longest.max().unwrap_or(0)
    }
}
