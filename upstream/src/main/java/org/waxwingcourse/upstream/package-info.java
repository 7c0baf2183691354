/** Clients for model engines and plain services. */
package org.waxwingcourse.upstream;
