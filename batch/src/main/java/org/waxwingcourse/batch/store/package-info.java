/** Calls to the platform's store that limit their rate, retry, and resolve unknown outcomes. */
package org.waxwingcourse.batch.store;
