//! An in-memory key-value service with fault injection.
#![allow(dead_code)]

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::LocalBoxFuture;
use parsleybeam::error::{Error, Kind, Result};
use parsleybeam::kv::{Change, Entry, KeyValue, LeaseId, Notice, Range, Swap, Swapped};
use tokio::sync::mpsc;

#[derive(Default)]
struct State {
    version: u64,
    entries: BTreeMap<String, Entry>,
    watches: Vec<(String, mpsc::Sender<Notice>)>,
    down: bool,
    lose_replies: u32,
}

#[derive(Clone, Default)]
pub struct Memory {
    state: Rc<RefCell<State>>,
}

impl Memory {
    pub fn set_down(&self, down: bool) {
        self.state.borrow_mut().down = down;
    }

    /// Drops the replies to the next `count` swaps, which still take effect.
    pub fn lose_replies(&self, count: u32) {
        self.state.borrow_mut().lose_replies = count;
    }

    fn check_available(&self) -> Result<()> {
        match self.state.borrow().down {
            true => Err(Error::new(Kind::PlatformUnavailable, "down")),
            false => Ok(()),
        }
    }

    fn put(&self, swap: Swap, marker: Option<&str>) -> Result<Swapped> {
        self.check_available()?;
        let mut state = self.state.borrow_mut();
        let current = state.entries.get(&swap.key).cloned();
        if current.as_ref().map_or(0, |entry| entry.version) != swap.expected {
            return Ok(Swapped::Refused(current));
        }
        state.version += 1;
        let version = state.version;
        state.write(&swap.key, swap.value);
        if let Some(marker) = marker {
            state.write(marker, Some(Vec::new()));
        }
        if state.lose_replies > 0 {
            state.lose_replies -= 1;
            return Err(Error::new(Kind::WriteUnknown, "reply lost"));
        }
        Ok(Swapped::Applied(version))
    }
}

impl State {
    fn write(&mut self, key: &str, value: Option<Vec<u8>>) {
        let version = self.version;
        match value.clone() {
            Some(value) => {
                self.entries.insert(key.into(), Entry { key: key.into(), value, version });
            }
            None => {
                self.entries.remove(key);
            }
        }
        let change = Change { version, key: key.into(), value };
        self.watches.retain(|(prefix, sender)| {
            !key.starts_with(prefix.as_str())
                || sender.try_send(Notice::Changes(vec![change.clone()])).is_ok()
        });
    }
}

impl KeyValue for Memory {
    fn range(&self, prefix: &str) -> LocalBoxFuture<'_, Result<Range>> {
        let prefix = prefix.to_owned();
        Box::pin(async move {
            self.check_available()?;
            let state = self.state.borrow();
            let entries = state.entries.values().filter(|entry| entry.key.starts_with(&prefix));
            Ok(Range { version: state.version, entries: entries.cloned().collect() })
        })
    }

    fn swap(&self, swap: Swap) -> LocalBoxFuture<'_, Result<Swapped>> {
        Box::pin(async move { self.put(swap, None) })
    }

    fn swap_marked(&self, swap: Swap, marker: &str) -> LocalBoxFuture<'_, Result<Swapped>> {
        let marker = marker.to_owned();
        Box::pin(async move { self.put(swap, Some(&marker)) })
    }

    fn grant(&self, _: Duration) -> LocalBoxFuture<'_, Result<LeaseId>> {
        Box::pin(async { self.check_available().map(|()| LeaseId(1)) })
    }

    fn renew(&self, _: LeaseId) -> LocalBoxFuture<'_, Result<()>> {
        Box::pin(async { self.check_available() })
    }

    fn revoke(&self, _: LeaseId) -> LocalBoxFuture<'_, Result<()>> {
        Box::pin(async { self.check_available() })
    }

    fn watch(&self, prefix: &str, _: u64) -> LocalBoxFuture<'_, Result<mpsc::Receiver<Notice>>> {
        let prefix = prefix.to_owned();
        Box::pin(async move {
            self.check_available()?;
            let (sender, receiver) = mpsc::channel(64);
            self.state.borrow_mut().watches.push((prefix, sender));
            Ok(receiver)
        })
    }
}
