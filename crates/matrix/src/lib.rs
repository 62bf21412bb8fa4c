//! The fault matrix and random histories over the reducer that ships.
//!
//! [`world::World`] runs several [`entry::entry::Entry`] reducers in virtual time against small fakes
//! of everything around them. It records what callers, backend servers, operators and the cloud see;
//! [`check`] judges that record against the seven points and knows nothing of the reducer.

pub mod cell;
pub mod check;
pub mod fault;
pub mod history;
pub mod page;
pub mod plan;
pub mod process;
pub mod run;
pub mod table;
pub mod world;
