/** Settings of a node and declarations of operators, read from TOML and checked. */
package org.waxwingcourse.config;
