/**
 * The leader's records in the store. Each admission and each end of a job is a compare-and-swap that is conditional on
 * the revision of the fencing token. A new leader restores its state from the records after a failover.
 */
package org.weldcourse.persistence;
