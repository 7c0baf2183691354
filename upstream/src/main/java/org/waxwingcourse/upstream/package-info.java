/** Adapters to model engines and plain services. */
package org.waxwingcourse.upstream;
