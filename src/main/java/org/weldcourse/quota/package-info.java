/**
 * Team quota: resource amounts and the invariant that the whole quota implementation maintains. {@link
 * org.weldcourse.quota.ledger} contains the stored quota records that every controller uses; {@link
 * org.weldcourse.quota.enforcement} contains the leader's enforcement.
 */
package org.weldcourse.quota;
