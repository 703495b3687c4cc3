package main

import "github.com/spf13/cobra"

func newExample() *cobra.Command { return &cobra.Command{Use: "example"} }
