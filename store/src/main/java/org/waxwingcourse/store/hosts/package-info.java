/**
 * The platform's list of hosts that are in service or stopping. The list is eventually consistent.
 */
package org.waxwingcourse.store.hosts;
