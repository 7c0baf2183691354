/** Streams and the software that began them: what a stream may go on with, and who remembers it. */
package org.waxwingcourse.fleet.stream;
