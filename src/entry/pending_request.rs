//! A request for capacity that the owner of a cell has not answered.

use std::{net::SocketAddr, rc::Rc};

use async_channel::Receiver;

use crate::{
    entry::{admission_client::Answer, entry_host::EntryHost},
    fleet::{AdmissionMessage, ServiceOutcome},
    placement::{Demand, ReservationNumber},
};

/// A request for capacity; dropping it before its answer withdraws the request.
pub(crate) struct PendingRequest {
    host: Rc<EntryHost>,
    owner: SocketAddr,
    number: ReservationNumber,
    answer: Receiver<Answer>,
    is_open: bool,
}

impl PendingRequest {
    /// Sends the request to the owner at an address.
    pub(crate) fn send(host: &Rc<EntryHost>, owner: SocketAddr, demand: &Demand) -> PendingRequest {
        let (number, answer) = host.admission.expect_answer();
        let message = AdmissionMessage::Request { number, demand: Box::new(demand.clone()) };
        host.send_admission(owner, message);
        PendingRequest { host: host.clone(), owner, number, answer, is_open: true }
    }

    /// Waits for the answer; `None` if there will be none.
    pub(crate) async fn answer(&self) -> Option<Answer> {
        self.answer.recv().await.ok()
    }

    /// Ends the request after its answer.
    pub(crate) fn close(mut self) {
        self.is_open = false;
    }
}

impl Drop for PendingRequest {
    fn drop(&mut self) {
        if !self.is_open {
            return;
        }
        self.host.admission.forget(self.number);
        let outcome = ServiceOutcome::Unsent;
        let message = AdmissionMessage::Released { number: self.number, outcome };
        self.host.send_admission(self.owner, message);
    }
}
