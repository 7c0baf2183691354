/** The platform's key-value service as this system sees it: compare-and-swap, leases, watches. */
package org.waxwingcourse.store;
