/** The data of batch jobs in the store: keys, records and their encoding. */
package org.waxwingcourse.batch.record;
