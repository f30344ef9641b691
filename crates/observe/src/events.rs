//! Numbered log events, catalogued in `docs/LOG-EVENTS.md`.
//!
//! A line reads `HS0201 route key=value ...`. Fields never contain request or
//! answer data.

use std::fmt::Arguments;

use log::Level;

/// A kind of log line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Event {
    pub code: u16,
    pub name: &'static str,
    pub level: Level,
    /// Description in the catalogue.
    pub meaning: &'static str,
}

macro_rules! events {
    ($($id:ident, $code:literal, $name:literal, $level:ident, $meaning:literal;)*) => {
        $(
            #[doc = $meaning]
            pub const $id: Event = Event {
                code: $code,
                name: $name,
                level: Level::$level,
                meaning: $meaning,
            };
        )*
        /// Every event, in order of code.
        pub const ALL: &[Event] = &[$($id),*];
    };
}

events! {
    STARTED, 101, "started", Info, "The entry is listening.";
    STOP_BEGUN, 102, "stop_begun", Info, "A planned stop began; health checks fail from now on.";
    STOP_DRAINED, 103, "stop_drained", Info, "No request is in flight any more.";
    HANDED_OVER, 104, "handed_over", Info, "The ledger was handed over to a successor.";
    HAND_OVER_FAILED, 105, "hand_over_failed", Warn, "No successor accepted the ledger; its tickets end as unknown.";
    ADOPTED_LEDGER, 106, "adopted_ledger", Info, "This entry answers for a stopped entry's tickets.";
    LEFT, 107, "left", Info, "The stop is complete; peers were notified of the entry that answers for this entry's tickets.";
    BAD_INPUT, 108, "bad_input", Warn, "A connection was closed because its caller exceeded a limit, or sent a request that can be read in two ways.";
    RELOADED, 109, "reloaded", Info, "The settings file was reloaded.";
    HOST_WOKE, 110, "host_woke", Warn, "The host was suspended; deadlines, leases and other timeouts kept running meanwhile.";
    PANICKED, 111, "panicked", Error, "A task ended by a panic at this place; the message is on standard error.";
    FATAL_SIGNAL, 112, "fatal_signal", Error, "The process ends by the signal of a faulty instruction; the line says where it is, how far from the program's own code, and its bytes.";
    STOP_UNANSWERED, 113, "stop_unanswered", Error, "The process exits at the end of a planned stop while a request has no answer; the line says what it waits for.";
    LOOP_RESTARTED, 114, "loop_restarted", Error, "A loop of the control thread ended by a panic and starts again; the line says which one, and how often since the process started.";
    ROUTE, 201, "route", Info, "A target was chosen for an attempt.";
    NO_ROUTE, 202, "no_route", Warn, "No target could be chosen.";
    ATTEMPT_FAILED, 203, "attempt_failed", Warn, "An attempt returned no valid answer.";
    REQUEST_ENDED, 204, "request_ended", Info, "A request was answered.";
    RELAYED, 205, "relayed", Info, "A request was relayed to another entry.";
    TARGET_EJECTED, 206, "target_ejected", Warn, "A target was ejected temporarily.";
    HOST_LEAVING, 207, "host_leaving", Info, "A host is draining and takes no new work.";
    LIST_NOT_BELIEVED, 208, "list_not_believed", Warn, "The host list shrank too much at once; the previous list stays in use.";
    RELAY_FAILED, 209, "relay_failed", Warn, "A request could not be relayed; nothing was sent.";
    CALL_ENDED, 210, "call_ended", Info, "A call with pieces of stages ended.";
    PIECE_FAILED, 211, "piece_failed", Warn, "A piece of a stage was not completed; it is run again or its request ends.";
    STREAM_RESUMED, 212, "stream_resumed", Warn, "A broken stream was resumed at another target.";
    CALLER_LEFT, 213, "caller_left", Info, "A caller closed its connection before its answer began; the request is cancelled.";
    STAGE_MADE, 214, "stage_made", Info, "All pieces of a stage of a request are completed.";
    STREAM_NOT_RESUMED, 215, "stream_not_resumed", Warn, "A broken stream could not be resumed at another target; the caller's stream is cut off.";
    TARGET_ENDED, 216, "target_ended", Warn, "A target broke off an answer and refuses connections: it crashed while running the request.";
    REQUEST_STANDING, 217, "request_standing", Warn, "The verdict on a request during which targets crashed changed: unsuspected, suspect, or refused everywhere.";
    TARGET_LEAVES, 218, "target_leaves", Info, "A target is draining or has crashed, according to an answer at its address or a peer's report.";
    TARGET_RESTS, 219, "target_rests", Info, "A target refused work and set a backoff time for this entry.";
    TARGET_LIMIT, 220, "target_limit", Info, "A target set, changed or removed its limit on requests per second from all entries together.";
    TARGET_WORD_UNREADABLE, 221, "target_word_unreadable", Warn, "A target's answer contains a malformed report header; the previous report stays in use.";
    TARGET_WORD_UNKNOWN, 222, "target_word_unknown", Warn, "A target's answer contains a report header that this build does not recognise; it is passed on and otherwise ignored.";
    CONNECTIONS, 223, "connections", Warn, "A request got none of this entry's few connections to a service in time, or a target reset a new one.";
    STREAM_ENDED, 224, "stream_ended", Info, "A target's event stream ended; the line says what marked its end and whether it ended inside an event.";
    TARGETS_UNREACHABLE, 225, "targets_unreachable", Warn, "This host reaches none of the targets that it asked; it is cut off from them.";
    TARGETS_REACHABLE, 226, "targets_reachable", Info, "This host reaches a target again after it was cut off from all.";
    STREAM_TAKEN_UP, 227, "stream_taken_up", Info, "A caller resumes a stream that an earlier attempt of it began; the line says at which version, and how that is known or why it isn't.";
    TARGET_REFUSAL_LIMIT, 228, "target_refusal_limit", Info, "A target set, changed or removed the number of requests per second that it can refuse for want of room before it fails; it gets no more requests than it runs at once.";
    NO_RELAY, 229, "no_relay", Warn, "This host is cut off from targets in a hall and no peer relays connections to them; the line counts the live peers, those that are suspected, those in whose region the data may be, and those that couldn't relay lately.";
    ROOM_REFUSED, 230, "room_refused", Info, "The owner of a contended queue refused a request for capacity; nothing of the request runs.";
    ROOM_BY_FLOW, 231, "room_by_flow", Info, "Offered rate, entitlement and reservations of each flow of a queue that refused requests.";
    ROOM_WEIGHT, 232, "room_weight", Warn, "A weight of an organisation is zero or not finite; the smallest weight is used.";
    CHOICE_OUTDATED, 233, "choice_outdated", Info, "A target that was chosen for a request isn't in use any more when the request is to be sent; the line says how long the request has waited since then.";
    RELAY_RETIRED, 234, "relay_retired", Info, "A target isn't in use any more to which this entry relays a connection of a peer; the connection carries no further request.";
    CALLERS_REFUSED, 235, "callers_refused", Info, "This host's link or processor is full and peers have room: it stops listening for callers for a moment, and asks those that it serves to connect anew.";
    REPEATED, 236, "repeated", Info, "Work that a service may have got is sent to it again; the line says why, what this entry may still repeat now, and its share of the fixed allowance.";
    REPEAT_REFUSED, 237, "repeat_refused", Warn, "Work is not sent to a service again, since this entry's share of the repeats is used up; its request ends.";
    REPEAT_BUDGET, 238, "repeat_budget", Info, "The repeats of a service in the last window at this entry: the requests that earned some, those granted and refused, and what is charged to its share of the fixed allowance.";
    ROOM_TOTALS, 239, "room_totals", Info, "Requests that the owner of a contended queue admitted and refused by cause, beside the queue's capacity, demand and claims of flows; every second while it refuses some.";
    ABANDONED_SEND_ENDED, 240, "abandoned_send_ended", Info, "The connection of an attempt or call ended whose answer nobody waited for any more; the line says after what time, and whether the target closed it, which shows that it has read what it wants of the request.";
    REPEAT_UNITS, 241, "repeat_units", Info, "This entry claimed units of the fixed allowance of repeats in the store, gave some up, or lost them; the line says how many it holds, and what it aims at.";
    ANSWER_GAVE_WAY, 242, "answer_gave_way", Warn, "The bytes that this host keeps exceed their part of its memory: an answer was ended, the largest of the source (a target, or a caller that doesn't read) that has most of them.";
    QUEUE_HANDED_OVER, 243, "queue_handed_over", Info, "This entry passes a queue on to another owner; the line says how many pieces waited, and how many calls it still makes.";
    QUEUE_TAKEN_OVER, 244, "queue_taken_over", Info, "This entry got the state of a queue's workers from an earlier owner; the line says how many workers, and the bytes that they retain by it.";
    CONFIGURATION_IN_FORCE, 301, "configuration_in_force", Info, "A revision is in force at this entry.";
    CONFIGURATION_ACCEPTED, 302, "configuration_accepted", Info, "This entry accepted an apply.";
    CONFIGURATION_REFUSED, 303, "configuration_refused", Warn, "An apply was refused.";
    CONFIGURATION_UNREADABLE, 304, "configuration_unreadable", Error, "A revision cannot be read by this entry; the previous one stays in force.";
    STORE_WENT_BACK, 305, "store_went_back", Error, "The store holds an older revision than the one in force; it is not adopted.";
    STORE_LOST, 306, "store_lost", Warn, "The store does not answer.";
    STORE_BACK, 307, "store_back", Info, "The store answers again.";
    STANDING, 308, "standing", Warn, "This entry started or stopped accepting new work.";
    RECORD_UNREADABLE, 309, "record_unreadable", Error, "A record cannot be read by this entry; a target with such a record is taken out of use, other records keep their previous value.";
    TARGET_RECORD, 310, "target_record", Info, "A target was added, or began to drain.";
    TARGET_GONE, 311, "target_gone", Info, "A target receives no more work.";
    HALLS_EMPTIED, 312, "halls_emptied", Info, "The set of evacuated halls, whose targets get no new work, changed.";
    STORE_CAME_BACK_OLDER, 313, "store_came_back_older", Warn, "The store was restored from an older copy; records that it lost are retained here until they are written again.";
    ROLLOUT_ORDERED, 314, "rollout_ordered", Info, "Operators ordered a service to move to another version.";
    ROLLOUT_ORDER_UNREADABLE, 315, "rollout_order_unreadable", Error, "A roll-out order cannot be followed; the previous order stays in effect.";
    ROLLOUT_PHASE, 316, "rollout_phase", Info, "A roll-out entered another phase at this entry.";
    ROLLOUT_TAKEN_BACK, 317, "rollout_taken_back", Warn, "The leader of a roll-out rolls the version back because of this evidence.";
    ROLLOUT_RECORDED, 318, "rollout_recorded", Info, "The phase of a roll-out was written to the store, or could not be written.";
    VERSION_HELD, 319, "version_held", Info, "A service has targets of a version that is new to this entry; they wait for the operators' order, if there is one.";
    TARGETS_LISTED, 320, "targets_listed", Info, "Many target records arrived together, or have to be read from another source.";
    LIST_BEHIND, 321, "list_behind", Warn, "A list that this entry follows in the store stays behind the store's newest epoch; the line says what the loop that follows it does.";
    LIST_READ, 322, "list_read", Info, "A list in the store was read to its end; the line says how many pages and items it had.";
    LIST_UNREADABLE, 323, "list_unreadable", Warn, "A list in the store can't be read to its end, or followed, although the store answers; the line says why and how often in a row, and comes again every 30 s while that stands. What was read is in force.";
    MEMBER, 401, "member", Info, "A member's health or stop state changed.";
    PACE, 402, "pace", Warn, "This entry started or stopped keeping up with its work.";
    HOST_LOAD, 403, "host_load", Info, "What this host carried in the last second: connections and requests of callers, the event-loop lag, and bytes by the other end.";
}

/// Writes one line.
pub fn emit(event: Event, entry: &str, fields: Arguments<'_>) {
    log::log!(
        target: "hollowsail",
        event.level,
        "HS{:04} {} entry={entry} {fields}",
        event.code,
        event.name
    );
}
