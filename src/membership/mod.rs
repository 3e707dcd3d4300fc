//! Which hosts take part and how far each has come.

mod gossip;
mod member_record;
mod membership;

pub use crate::membership::{
    gossip::Gossip,
    member_record::{HostRole, HostState, MemberRecord, PreparedSwitch, WeightsStatus},
    membership::Membership,
};
