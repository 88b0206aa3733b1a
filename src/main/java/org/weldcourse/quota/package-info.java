/** Team limits on record in the state service: the ledger, reservations made at submission, and how room is divided. */
package org.weldcourse.quota;
