/** A stand-in for the network between two processes, with injectable faults. */
package org.waxwingcourse.standin.link;
