//! Dependency graph of the stages of one request. Pieces start once every piece of every
//! stage they depend on is complete. Results are referred to by their handles, and are
//! consumed once all dependents of their stage are complete.

/// One piece of one stage.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PieceIndex {
    /// Index of the stage in its route.
    pub stage: usize,
    /// Index of the piece in its stage.
    pub piece: usize,
}

/// Number of pieces and dependencies of one stage.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StageSpec {
    /// 0 skips the stage.
    pub pieces: usize,
    /// Earlier stages whose results this stage takes as input.
    pub after: Vec<usize>,
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum PieceState {
    Pending,
    /// Returned by [`StageGraph::start_ready`].
    Started,
    /// Handle of the result; empty once the result was consumed.
    Completed(String),
}

/// Progress of one request through its stages.
#[derive(Debug, Clone)]
pub struct StageGraph {
    specs: Vec<StageSpec>,
    states: Vec<Vec<PieceState>>,
    align_final_stages: bool,
}

impl StageGraph {
    /// A graph with all pieces pending. A stage may depend on earlier stages only.
    pub fn new(specs: Vec<StageSpec>) -> Self {
        let states = specs
            .iter()
            .map(|spec| vec![PieceState::Pending; spec.pieces])
            .collect();
        StageGraph {
            specs,
            states,
            align_final_stages: true,
        }
    }

    /// Starts each final stage as soon as its own inputs are complete.
    pub fn with_independent_final_stages(self) -> Self {
        StageGraph {
            align_final_stages: false,
            ..self
        }
    }

    /// Marks all pieces that can start as started, and returns them.
    pub fn start_ready(&mut self) -> Vec<PieceIndex> {
        let ready: Vec<PieceIndex> = (0..self.specs.len())
            .filter(|&stage| self.can_start(stage))
            .flat_map(|stage| self.pending_pieces(stage))
            .collect();
        for id in &ready {
            self.states[id.stage][id.piece] = PieceState::Started;
        }
        ready
    }

    /// A final stage waits until all final stages can start: completed earlier, its results
    /// would occupy worker memory while a longer path is still running.
    fn can_start(&self, stage: usize) -> bool {
        match self.has_dependents(stage) || !self.align_final_stages {
            true => self.inputs_complete(stage),
            false => self.final_stages().all(|stage| self.inputs_complete(stage)),
        }
    }

    fn inputs_complete(&self, stage: usize) -> bool {
        let dependencies = &self.specs[stage].after;
        dependencies
            .iter()
            .all(|&dependency| self.is_complete(dependency))
    }

    /// Non-empty stages without dependents.
    fn final_stages(&self) -> impl Iterator<Item = usize> + '_ {
        (0..self.specs.len())
            .filter(|&stage| self.specs[stage].pieces > 0 && !self.has_dependents(stage))
    }

    pub fn is_complete(&self, stage: usize) -> bool {
        self.states[stage]
            .iter()
            .all(|state| matches!(state, PieceState::Completed(_)))
    }

    fn pending_pieces(&self, stage: usize) -> impl Iterator<Item = PieceIndex> + '_ {
        self.states[stage]
            .iter()
            .enumerate()
            .filter(|(_, state)| **state == PieceState::Pending)
            .map(move |(piece, _)| PieceIndex { stage, piece })
    }

    /// Records the result of a piece.
    pub fn complete(&mut self, id: PieceIndex, handle: String) {
        self.states[id.stage][id.piece] = PieceState::Completed(handle);
    }

    /// Makes a piece pending again after its work failed or its result was lost.
    pub fn reset(&mut self, id: PieceIndex) {
        self.states[id.stage][id.piece] = PieceState::Pending;
    }

    /// Resets the pieces behind lost inputs of `stage`, and recursively the consumed pieces
    /// that these depend on. Returns all reset pieces; their results must not be used any
    /// more.
    pub fn reset_inputs(&mut self, stage: usize, handles: &[String]) -> Vec<PieceIndex> {
        let mut reset = Vec::new();
        for dependency in self.specs[stage].after.clone() {
            let is_lost = |handle: &String| handles.contains(handle);
            let pieces = self.reset_matching(dependency, is_lost);
            if !pieces.is_empty() {
                reset.extend(self.reset_consumed_before(dependency));
            }
            reset.extend(pieces);
        }
        reset
    }

    /// Recursively resets consumed pieces that `stage` depends on.
    fn reset_consumed_before(&mut self, stage: usize) -> Vec<PieceIndex> {
        let mut reset = Vec::new();
        for dependency in self.specs[stage].after.clone() {
            let pieces = self.reset_matching(dependency, String::is_empty);
            if !pieces.is_empty() {
                reset.extend(self.reset_consumed_before(dependency));
            }
            reset.extend(pieces);
        }
        reset
    }

    /// Resets completed pieces of a stage whose handle matches.
    fn reset_matching(
        &mut self,
        stage: usize,
        matches_handle: impl Fn(&String) -> bool,
    ) -> Vec<PieceIndex> {
        let mut reset = Vec::new();
        for (piece, state) in self.states[stage].iter_mut().enumerate() {
            if matches!(state, PieceState::Completed(handle) if matches_handle(handle)) {
                *state = PieceState::Pending;
                reset.push(PieceIndex { stage, piece });
            }
        }
        reset
    }

    /// Handles of all input results of a stage.
    pub fn inputs_of(&self, stage: usize) -> Vec<String> {
        let dependencies = self.specs[stage].after.iter();
        dependencies
            .flat_map(|&stage| self.handles(stage))
            .collect()
    }

    /// Handles of all input results of the request itself: those of the final stages.
    pub fn final_inputs(&self) -> Vec<String> {
        (0..self.specs.len())
            .filter(|&stage| !self.has_dependents(stage))
            .flat_map(|stage| self.handles(stage))
            .collect()
    }

    /// Takes the handles of results whose dependents are all complete. Each handle is
    /// returned once.
    pub fn take_consumed(&mut self) -> Vec<String> {
        let consumed: Vec<usize> = (0..self.specs.len())
            .filter(|&stage| self.has_dependents(stage) && self.dependents_complete(stage))
            .collect();
        let mut handles = Vec::new();
        for stage in consumed {
            for state in &mut self.states[stage] {
                if let PieceState::Completed(handle) = state {
                    if !handle.is_empty() {
                        handles.push(std::mem::take(handle));
                    }
                }
            }
        }
        handles
    }

    fn has_dependents(&self, stage: usize) -> bool {
        self.dependents(stage).next().is_some()
    }

    fn dependents_complete(&self, stage: usize) -> bool {
        self.dependents(stage)
            .all(|dependent| self.is_complete(dependent))
    }

    /// Non-empty stages that depend on this one.
    fn dependents(&self, stage: usize) -> impl Iterator<Item = usize> + '_ {
        let is_dependent = move |spec: &StageSpec| spec.pieces > 0 && spec.after.contains(&stage);
        self.specs
            .iter()
            .enumerate()
            .filter(move |(_, spec)| is_dependent(spec))
            .map(|(dependent, _)| dependent)
    }

    fn handles(&self, stage: usize) -> impl Iterator<Item = String> + '_ {
        self.states[stage].iter().filter_map(|state| match state {
            PieceState::Completed(handle) if !handle.is_empty() => Some(handle.clone()),
            _ => None,
        })
    }

    pub fn is_done(&self) -> bool {
        (0..self.specs.len()).all(|stage| self.is_complete(stage))
    }

    /// Longest path from the end of a stage to the request, in milliseconds, where `ms_of`
    /// gives the duration of a stage.
    pub fn critical_path_ms_after(&self, stage: usize, ms_of: &impl Fn(usize) -> u64) -> u64 {
        let paths = self.dependents(stage);
        let longest = paths.map(|next| ms_of(next) + self.critical_path_ms_after(next, ms_of));
        longest.max().unwrap_or(0)
    }
}
