/** A randomized fault test over the loopback: real controllers, stand-ins for all else, and rules checked from outside. */
package org.weldcourse.soak;
