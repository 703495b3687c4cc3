package operator

// Form describes one form of statement in help texts.
type Form struct {
	// Syntax is the pattern of the statement: <...> stands for a value, [...] is optional, and
	// | separates alternatives.
	Syntax string
	// Meaning describes what the statement does.
	Meaning string
}

// Forms lists every form of statement.
var Forms = []Form{
	{"show endpoints|requests|zones|models|routes|accounts|processes|replicas|leases [where <column> = <value> [and ...]]", "print a table; = != < <= > >= compare a column"},
	{"take zone <zone> out", "give a zone no new work; work in flight finishes"},
	{"bring zone <zone> in", "give a zone new work again"},
	{"take endpoint <endpoint> out", "give one endpoint no new work"},
	{"bring endpoint <endpoint> in", "give one endpoint new work again, if its zone is in"},
	{"add zone <zone> in region <region>", "make a zone known; it is out until it is brought in"},
	{"load model <model> on <endpoint>", "order an engine to load a model"},
	{"load adapter <adapter> on <endpoint>", "order an engine to load an adapter"},
	{"set version <version> on <endpoint>", "order an engine to change to a version of its model"},
	{"set role <role> on <endpoint>", "order an engine to change its role"},
	{"set model <model> [versions <a>, <b>] [adapters <a>, <b>] [weights 14GB]", "make or change a model"},
	{"set route <route> to model <model> [deadline 30s] [accounts <a>, <b>] [max output 4096]", "make or change a route to a model"},
	{"set route <route> to service <service> [deadline 30s] [accounts <a>, <b>]", "make or change a route to a plain service"},
	{"mark route <route> <METHOD> </path> non-idempotent", "run the calls below a path at most once"},
	{"unmark route <route> <METHOD> </path> non-idempotent", "let the calls below a path be repeated"},
	{"add account <account> [limits <limit> ...]", "make a client account"},
	{"set account <account> limits [requests 10/s] [tokens 5000/s] [concurrent 8] [held 4MB]", "change limits; 0 is no limit"},
	{"add key for account <account>", "make a key and print it once"},
	{"drop key <digest> from account <account>", "refuse a key from now on"},
	{"drop model|route|account|endpoint <name>", "remove a model, a route, an account, or the rule for an endpoint"},
	{"add replica <number> at <address>", "add a replica of control that does not vote yet"},
	{"promote replica <number>", "let a replica vote once it is whole"},
	{"remove replica <number>", "remove a replica of control"},
	{"<order> expecting revision <number>", "refuse the order unless the configuration is at that revision"},
	{"explain <order>", "say what an order would do, and send nothing"},
	{"history [from <revision>] [limit <count>]", "list accepted orders: who, when, what"},
	{"wait [revision <number>] [for 15s]", "wait until a revision is in force everywhere"},
}
