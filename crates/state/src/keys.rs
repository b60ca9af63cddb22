//! Typed slot-map keys of the run-time tables.

slotmap::new_key_type! {
    /// Key of a database group.
    pub struct GroupKey;
    /// Key of a group member, which is one backend server.
    pub struct MemberKey;
    /// Key of a customer.
    pub struct CustomerKey;
    /// Key of a read class.
    pub struct ClassKey;
}
