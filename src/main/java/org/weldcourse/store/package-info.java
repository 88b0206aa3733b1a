/** Client of the store, a consensus-backed key-value service with watches, leases and conditional transactions. */
package org.weldcourse.store;
