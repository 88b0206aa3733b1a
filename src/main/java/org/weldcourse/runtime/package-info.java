/** Clock, timers and scheduled background tasks on the event loop. */
package org.weldcourse.runtime;
