//! Which hosts take part and how far each has come.

mod detector;
mod gossip;
mod leaving;
mod member_record;
mod membership;
mod rank;

pub use crate::membership::{
    detector::Detector,
    gossip::Gossip,
    leaving::announce_leaving,
    member_record::{HostRole, HostState, MemberRecord, PreparedSwitch, WeightsStatus},
    membership::Membership,
    rank::rank,
};
