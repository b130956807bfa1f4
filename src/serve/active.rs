//! Requests in progress at this VM, from their arrival to the last byte of their answers.

use std::cell::RefCell;
use std::rc::Rc;

use slotmap::{SlotMap, new_key_type};

use crate::clock::Time;

new_key_type! {
    /// Key of a request in progress.
    struct Key;
}

/// A request in progress.
#[derive(Clone, Debug)]
pub struct Request {
    /// Identifier that the caller gave it.
    pub id: String,
    /// When it arrived.
    pub arrived: Time,
    /// When its caller or route lets it end at the latest; `Time::NEVER` if it isn't known yet.
    pub deadline: Time,
}

/// All requests in progress.
#[derive(Debug, Default)]
pub struct Active {
    requests: RefCell<SlotMap<Key, Request>>,
}

impl Active {
    /// Adds a request that has just arrived.
    pub fn begin(self: &Rc<Self>, id: &str, arrived: Time) -> Guard {
        let request = Request { id: id.to_owned(), arrived, deadline: Time::NEVER };
        let key = self.requests.borrow_mut().insert(request);
        Guard { active: self.clone(), key }
    }

    /// Number of requests in progress.
    pub fn count(&self) -> usize {
        self.requests.borrow().len()
    }

    /// The requests in progress.
    pub fn requests(&self) -> Vec<Request> {
        self.requests.borrow().values().cloned().collect()
    }
}

/// Counts a request in progress until it is dropped.
#[derive(Debug)]
pub struct Guard {
    active: Rc<Active>,
    key: Key,
}

impl Guard {
    /// States when the request ends at the latest.
    pub fn set_deadline(&self, deadline: Time) {
        if let Some(request) = self.active.requests.borrow_mut().get_mut(self.key) {
            request.deadline = deadline;
        }
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.active.requests.borrow_mut().remove(self.key);
    }
}
