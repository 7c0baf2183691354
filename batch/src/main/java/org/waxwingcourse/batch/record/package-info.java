/** What batch work keeps in the store: keys, records and their encoding. */
package org.waxwingcourse.batch.record;
