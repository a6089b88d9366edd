//! Whether this host is cut off from so much that callers are better served
//! elsewhere.
//!
//! Load pattern answered: a domain is partitioned from the others while
//! callers still reach it. Its hosts cannot get the parts of shards whose
//! targets all lie beyond the cut; a balancer that sees them as not ready
//! sends callers to the other side. Targets that crash look the same from
//! here, so a domain counts as cut off only if its hosts fell silent too, and
//! only the smaller side steps back: all hosts stepping back would serve
//! nobody.

use base::{DomainName, HashSet};

/// The domains beyond a cut, if this host is on the smaller side of it.
///
/// `dark` are the domains whose targets do not answer, `unheard` those whose
/// hosts do not, `others` the number of domains beside this host's own.
pub fn partitioned_domains(
    dark: &HashSet<DomainName>,
    unheard: &HashSet<DomainName>,
    others: usize,
) -> HashSet<DomainName> {
    let domains = others + 1;
    let is_smaller_side = unheard.len() * 2 > domains;
    if !is_smaller_side {
        return HashSet::default();
    }
    dark.intersection(unheard).cloned().collect()
}
