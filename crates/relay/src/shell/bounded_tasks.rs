//! Tasks of connections whose number is limited: the oldest is ended for a further one.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::future::Future;
use std::rc::Rc;

use tokio::task;

/// A limited number of tasks.
#[derive(Debug)]
pub(super) struct BoundedTasks {
    max_tasks: usize,
    last_number: Cell<u64>,
    /// The tasks by their number, which rises with each task.
    tasks: RefCell<BTreeMap<u64, task::AbortHandle>>,
}

/// The place of a task among those that are counted, until this is dropped.
#[derive(Debug)]
pub(super) struct TaskPlace {
    tasks: Rc<BoundedTasks>,
    number: u64,
}

impl BoundedTasks {
    /// Allows this many tasks at a time.
    pub(super) fn new(max_tasks: usize) -> Rc<Self> {
        Rc::new(Self {
            max_tasks,
            last_number: Cell::new(0),
            tasks: RefCell::default(),
        })
    }

    /// Starts a task, and ends the oldest one if there are too many. The task counts until it drops
    /// its place.
    pub(super) fn spawn<F>(self: &Rc<Self>, task: impl FnOnce(TaskPlace) -> F)
    where
        F: Future<Output = ()> + 'static,
    {
        let number = self.last_number.get() + 1;
        self.last_number.set(number);
        let place = TaskPlace {
            tasks: Rc::clone(self),
            number,
        };
        let handle = task::spawn_local(task(place)).abort_handle();
        let mut tasks = self.tasks.borrow_mut();
        tasks.insert(number, handle);
        if tasks.len() > self.max_tasks
            && let Some((_, oldest)) = tasks.pop_first()
        {
            oldest.abort();
        }
    }
}

impl Drop for TaskPlace {
    fn drop(&mut self) {
        self.tasks.tasks.borrow_mut().remove(&self.number);
    }
}
