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

use crate::answer::{self, Body, Reason};
use crate::server::{Id, Server};

/// Time after which a caller retries if the only servers have just ended their backoffs: several answers later.
pub const RETURN_RETRY_AFTER: Duration = Duration::from_millis(200);

/// Why a request was not sent.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
#[display("server={server} obstacle={obstacle}")]
pub struct Withheld {
    /// The server that does not want it.
    pub server: Id,
    /// Why it does not.
    pub obstacle: Obstacle,
}

/// Permission to send one request. Until it is dropped, the request counts as in progress at servers that return from a
/// backoff.
#[derive(Debug)]
pub struct Permit {
    register: Rc<RefCell<Register>>,
    counted: Vec<Start>,
    /// When the servers began to answer the request.
    served_at: Option<Duration>,
}

impl Permit {
    /// Ends the permit of a request that the servers have answered.
    pub fn served(mut self, now: Duration) {
        self.served_at = Some(now);
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let mut register = self.register.borrow_mut();
        for start in &self.counted {
            register.settle(&start.id, start.born, self.served_at);
        }
    }
}

/// Checks whether a request may be sent to the first server of `path`, and on to the others, right before it is sent.
pub fn permit(
    register: &Rc<RefCell<Register>>,
    path: &[Rc<Server>],
    now: Duration,
) -> Result<Permit, Withheld> {
    let mut permit = Permit { register: register.clone(), counted: Vec::new(), served_at: None };
    for (at, server) in path.iter().enumerate() {
        let how = if at == 0 { Use::Direct } else { Use::Path };
        let admitted = register.borrow_mut().admit(&server.id, server.born, how, now);
        match admitted {
            Ok(true) => permit.counted.push(server.start()),
            Ok(false) => {}
            Err(obstacle) => return Err(Withheld { server: server.id.clone(), obstacle }),
        }
    }
    Ok(permit)
}

/// Returns the response to a request that must wait for the end of a backoff, `wait` from now, whose caller has `left`
/// until its deadline. `routers` may be waiting for the same servers.
pub fn refuse(wait: Duration, routers: u32, left: Duration) -> Response<Body> {
    let wait = wait + return_spread(wait, routers, rand::random());
    // A later return is of no use to this caller, and until then another server may have started.
    answer::error_after(Reason::Backoff, Some(wait.min(left)))
}
