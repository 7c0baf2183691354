/** An in-memory store with switchable faults, for tests and behind the platform stand-in. */
package org.waxwingcourse.standin.store;
