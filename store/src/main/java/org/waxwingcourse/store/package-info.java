/**
 * The interface to the platform's key-value service: compare-and-swap transactions, leases and
 * watches.
 */
package org.waxwingcourse.store;
