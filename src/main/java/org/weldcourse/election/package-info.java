/** Leader election over the store, with renewal of the leader's lease. Each election increases the fencing token. */
package org.weldcourse.election;
