/** The fleet's configuration as entries of the platform's store, and the writer of changes. */
package org.waxwingcourse.config.store;
