/** A local cache of stored batch data. The store remains the source of the data. */
package org.waxwingcourse.batch.cache;
