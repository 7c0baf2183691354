/** Calls to the platform's store: paced, tried again, and their unknown outcomes resolved. */
package org.waxwingcourse.batch.store;
