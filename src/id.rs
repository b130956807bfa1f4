//! Names shared by every part of the system.

name! {
    /// An organisation: the tenant that callers' keys belong to.
    pub struct Organisation;
    /// A VM of the fleet, unique while it lives.
    pub struct Vm;
    /// A data centre.
    pub struct DataCentre;
    /// An upstream: one replica of a model engine or of a plain service.
    pub struct Upstream;
    /// A model served by engines.
    pub struct Model;
    /// A plain service that stands beside the engines.
    pub struct Service;
    /// A batch job, unique within its organisation.
    pub struct Job;
}
