//! Name types shared by all modules.

name! {
    /// An organisation, the tenant that callers' keys belong to.
    pub struct Organisation;
    /// A VM of the fleet; unique among running VMs.
    pub struct Vm;
    /// A data centre.
    pub struct DataCentre;
    /// An upstream, which is one replica of a model engine or of a plain service.
    pub struct Upstream;
    /// A version of an upstream's software.
    pub struct Version;
    /// A model served by engines.
    pub struct Model;
    /// A plain service that isn't a model engine.
    pub struct Service;
    /// A batch job, unique within its organisation.
    pub struct Job;
}
