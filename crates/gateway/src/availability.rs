//! The last check before a request is sent to servers, which may have asked for a backoff since they were chosen.
//!
//! Requests wait for retries, permits and connections between the two. [`policy::availability`] decides; the answers of
//! servers reach it through [`crate::departure`].

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use derive_more::Display;
use hyper::Response;
use policy::availability::{Obstacle, Register, Use, return_spread};
use policy::crash::Start;
use tokio::time::Instant;

use crate::answer::{self, Body, Reason};

/// Time after which a caller retries if the only servers have just ended their backoffs: several answers later.
pub const RETURN_RETRY_AFTER: Duration = Duration::from_millis(200);

/// What the starts of servers have asked of this router, shared by its tasks.
#[derive(Debug)]
pub struct Availability {
    /// The statements.
    pub register: RefCell<Register>,
    start: Instant,
}

/// Why a request was not sent.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
#[display("server={server} obstacle={obstacle}")]
pub struct Withheld {
    /// The server that does not want it.
    pub server: String,
    /// Why it does not.
    pub obstacle: Obstacle,
}

/// Permission to send one request. Until it is dropped, the request counts as in progress at servers that return from a
/// backoff.
#[derive(Debug)]
pub struct Permit {
    availability: Rc<Availability>,
    counted: Vec<Start>,
    served: bool,
}

impl Availability {
    /// Creates the register of a process that began at `start`.
    pub fn new(start: Instant) -> Rc<Availability> {
        Rc::new(Availability { register: RefCell::default(), start })
    }

    /// Returns the time since the process started.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Checks whether a request may be sent to the first server of `path`, and on to the others, right before it is sent.
    pub fn permit(self: &Rc<Availability>, path: &[Start]) -> Result<Permit, Withheld> {
        let now = self.now();
        let mut permit = Permit { availability: self.clone(), counted: Vec::new(), served: false };
        for (at, start) in path.iter().enumerate() {
            let how = if at == 0 { Use::Direct } else { Use::Path };
            let admitted = self.register.borrow_mut().admit(&start.id, start.born, how, now);
            match admitted {
                Ok(true) => permit.counted.push(start.clone()),
                Ok(false) => {}
                Err(obstacle) => return Err(Withheld { server: start.id.clone(), obstacle }),
            }
        }
        Ok(permit)
    }
}

impl Permit {
    /// Ends the permit; `served` says whether the servers answered the request.
    pub fn settle(mut self, served: bool) {
        self.served = served;
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let now = self.availability.now();
        let mut register = self.availability.register.borrow_mut();
        for start in &self.counted {
            register.settle(&start.id, start.born, self.served, now);
        }
    }
}

/// Returns the response to a request that must wait for the end of a backoff, `wait` from now, whose caller has `left`
/// until its deadline. `routers` may be waiting for the same servers.
pub fn refuse(wait: Duration, routers: u32, left: Duration) -> Response<Body> {
    let wait = wait + return_spread(wait, routers, rand::random());
    // A later return is of no use to this caller, and until then another server may have started.
    answer::error_after(Reason::Backoff, Some(wait.min(left)))
}
