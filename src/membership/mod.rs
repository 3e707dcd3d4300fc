//! Membership of the deployment: gossip, failure detection and the state of each host.

mod detector;
mod gossip;
mod join;
mod leaving;
mod member_record;
mod member_table;
mod membership;
mod neighbours;
mod rank;
mod report_table;
mod reporter;
mod suspicion;

pub use crate::membership::{
    detector::Detector,
    gossip::Gossip,
    leaving::announce_leaving,
    member_record::{HostRole, HostState, MemberRecord, PreparedSwitch, WeightsStatus},
    member_table::{MemberTable, MergeOutcome},
    membership::Membership,
    neighbours::Neighbours,
    rank::rank,
    report_table::{CharterReport, HostReport, ReportTable},
    suspicion::{classify_probes, confirm_delay, Reachability},
};
