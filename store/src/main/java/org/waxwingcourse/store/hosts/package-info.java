/** The platform's lagging list of live and leaving hosts. */
package org.waxwingcourse.store.hosts;
