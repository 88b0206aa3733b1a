/**
 * The leader's quota enforcement: what counts against the limits of each team and cohort, the budgets granted to
 * controllers for reservations, and the preemption of tasks that exceed a limit.
 */
package org.weldcourse.quota.enforcement;
