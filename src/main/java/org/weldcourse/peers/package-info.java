/**
 * Heartbeats between controllers: which one is the leader, under which fencing token, and which ones reach the store.
 */
package org.weldcourse.peers;
