/** A client of the store that uses etcd's JSON gateway to its version 3 API. */
package org.waxwingcourse.store.etcd;
