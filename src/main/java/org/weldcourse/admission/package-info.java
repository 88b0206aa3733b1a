/**
 * Admission decisions: a pure planner that takes a snapshot of the cluster and decides which tasks to admit on which
 * machines, by bin packing and gang scheduling, and which tasks to preempt.
 */
package org.weldcourse.admission;
