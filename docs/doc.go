// Package docs holds the pages; its tests check their links and commands.
package docs
