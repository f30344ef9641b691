//! Log lines of the faults that end a process or one of its tasks.
//!
//! A panic ends its task and is logged with its place. Signals that a faulty instruction raises end
//! the process, which has no other chance to say why.

use std::any::Any;
use std::backtrace::{Backtrace, BacktraceStatus};
use std::ffi::{c_int, c_void};
use std::io::{self, Cursor, Write};

use libc::siginfo_t;

use crate::events;
use crate::text::OneLine;

/// Signals of faulty instructions. The standard library reports those of faulty accesses to memory.
const REPORTED_SIGNALS: [c_int; 3] = [libc::SIGILL, libc::SIGFPE, libc::SIGTRAP];
/// Number of bytes of code that a line shows.
const SHOWN_BYTES: usize = 16;
/// Largest line of a signal, in bytes.
const MAX_LINE: usize = 256;

/// Logs panics and fatal signals from now on; fails where a handler can't be installed.
pub fn log_faults() -> io::Result<()> {
    std::panic::set_hook(Box::new(move |panic| {
        let event = events::PANICKED;
        let thread = std::thread::current();
        let name = thread.name().unwrap_or("unnamed");
        // The message may hold payload, which belongs into no log line.
        let place = panic.location().map(ToString::to_string);
        log::log!(
            target: "hollowsail",
            event.level,
            "HS{:04} {} thread={name} at={}",
            event.code,
            event.name,
            place.as_deref().unwrap_or("unknown")
        );
        let message = payload_text(panic.payload());
        // The standard library prints the same, with the message as it is.
        // Standard error may be closed; a hook that panics would end the process.
        let mut stderr = io::stderr();
        let _written = writeln!(
            stderr,
            "\nthread '{}' panicked at {}:\n{}",
            OneLine(name),
            place.as_deref().unwrap_or("unknown"),
            OneLine(message)
        );
        let trace = Backtrace::capture();
        if trace.status() == BacktraceStatus::Captured {
            let _written = writeln!(stderr, "stack backtrace:\n{trace}");
        }
    }));
    REPORTED_SIGNALS.into_iter().try_for_each(install)
}

fn payload_text(payload: &dyn Any) -> &str {
    let text = payload.downcast_ref::<&str>().copied();
    let text = text.or_else(|| payload.downcast_ref::<String>().map(String::as_str));
    text.unwrap_or("a value that is no text")
}

fn install(signal: c_int) -> io::Result<()> {
    let handler: extern "C" fn(c_int, *mut siginfo_t, *mut c_void) = end_by;
    // SAFETY: zero is a valid value of the structure, and the handler has the type that SA_SIGINFO
    // asks for. It allocates nothing and takes no lock.
    let result = unsafe {
        let mut action: libc::sigaction = std::mem::zeroed();
        action.sa_sigaction = handler as usize;
        action.sa_flags = libc::SA_SIGINFO | libc::SA_ONSTACK;
        libc::sigaction(signal, &action, std::ptr::null_mut())
    };
    match result {
        0 => Ok(()),
        _ => Err(io::Error::last_os_error()),
    }
}

/// Writes the line of a signal, and ends the process by it.
extern "C" fn end_by(signal: c_int, info: *mut siginfo_t, _context: *mut c_void) {
    let mut line = [0; MAX_LINE];
    let mut cursor = Cursor::new(&mut line[..]);
    // SAFETY: the system passes a valid pointer.
    let info = unsafe { &*info };
    // What doesn't fit is left out.
    let _fits = describe(&mut cursor, signal, info);
    let end = cursor.position() as usize;
    for output in [rustix::stdio::stderr(), rustix::stdio::stdout()] {
        let _written = rustix::io::write(output, &line[..end]);
    }
    // SAFETY: both calls are allowed in a handler. The signal is delivered when it returns.
    unsafe {
        libc::signal(signal, libc::SIG_DFL);
        libc::raise(signal);
    }
}

fn describe(line: &mut impl Write, signal: c_int, info: &siginfo_t) -> io::Result<()> {
    let events::Event { code, name, .. } = events::FATAL_SIGNAL;
    let cause = info.si_code;
    write!(line, "HS{code:04} {name} signal={signal} code={cause}")?;
    // The system's own signals have positive codes, and an address.
    if cause > 0 {
        // SAFETY: a signal of a faulty instruction has the field, the address of the instruction.
        let at = unsafe { info.si_addr() } as usize;
        // The distance from a function of this program shows whose code it is.
        let offset = at.wrapping_sub(end_by as *const () as usize) as isize;
        write!(line, " at={at:#x} offset={offset} bytes=")?;
        for index in 0..SHOWN_BYTES {
            // SAFETY: the processor has just read the instruction there.
            let byte = unsafe { std::ptr::read_volatile((at as *const u8).add(index)) };
            write!(line, "{byte:02x}")?;
        }
    }
    writeln!(
        line,
        " thread={}",
        rustix::thread::gettid().as_raw_nonzero()
    )
}
