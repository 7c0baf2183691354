/** A plain service stand-in that counts its runs and can withhold its responses. */
package org.waxwingcourse.standin.plain;
