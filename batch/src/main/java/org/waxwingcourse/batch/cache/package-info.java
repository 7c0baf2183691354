/** Copies of stored batch data near a host; losing them loses nothing. */
package org.waxwingcourse.batch.cache;
