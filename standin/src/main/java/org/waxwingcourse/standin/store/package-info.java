/** An in-memory store with injectable faults, used by tests and by the platform stand-in. */
package org.waxwingcourse.standin.store;
