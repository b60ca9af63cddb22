//! Typed keys of the run-time collections.

slotmap::new_key_type! {
    /// Key of a database group in a daemon's tables.
    pub struct GroupKey;
    /// Key of a backend server, that is a member of a group.
    pub struct MemberKey;
    /// Key of a customer.
    pub struct CustomerKey;
    /// Key of a read class.
    pub struct ClassKey;
}
