/** A plain service stand-in that counts its calls and can lose its answers. */
package org.waxwingcourse.standin.plain;
