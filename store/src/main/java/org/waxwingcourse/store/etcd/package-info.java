/** The store port over etcd's published JSON form, the gateway to its version 3 API. */
package org.waxwingcourse.store.etcd;
