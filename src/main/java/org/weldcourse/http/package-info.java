/** HTTP server and client on the event loop, and JSON parsing and encoding. */
package org.weldcourse.http;
