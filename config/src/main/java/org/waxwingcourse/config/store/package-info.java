/** Storage of the fleet's configuration as entries of the platform store, and its changes. */
package org.waxwingcourse.config.store;
