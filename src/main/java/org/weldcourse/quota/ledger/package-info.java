/**
 * Quota records in the store: team and cohort records, each controller's view of them, the reservations that a
 * controller makes when it accepts a job, and the operator command that changes the records.
 */
package org.weldcourse.quota.ledger;
